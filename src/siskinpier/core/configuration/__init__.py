"""Declared routing intents and the orders that change them."""
