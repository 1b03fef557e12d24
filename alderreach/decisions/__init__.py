"""Scheduling and admission policies, testable without a network."""
