"""The controller: a replica of the cell's log. The leader manages the whole cell."""
