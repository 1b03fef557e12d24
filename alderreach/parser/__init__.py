"""Parsing and full validation of settings, questionnaires and configuration."""
