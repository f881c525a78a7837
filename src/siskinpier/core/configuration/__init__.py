"""Declared routing intents, and orders that change them."""
