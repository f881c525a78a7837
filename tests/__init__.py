"""Tests for siskinpier."""
