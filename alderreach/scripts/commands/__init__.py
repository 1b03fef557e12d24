"""The commands of ``alderreach``: each reads options, makes a call and prints lines."""
