"""Decisions under load, testable without a network."""
