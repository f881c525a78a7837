"""The operators' questions and orders as text."""
