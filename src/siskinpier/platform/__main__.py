"""Run one host on the platform."""

from .process import main

main()
