"""The controller: a replica of the cell's log; its leader owns the whole cell."""
