"""The commands of ``alderreach``, thin: options in, a call, lines out."""
