"""Test doubles for the services that siskinpier works with."""
