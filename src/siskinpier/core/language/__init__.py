"""The text language for operators' questions and orders, and the answers."""
