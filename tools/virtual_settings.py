"""The settings file of the simulated cell's leader."""

from alderreach.parser import settings as settings_parser

SETTINGS = """
    [process]
    cell = "c"
    name = "k"
    vm = "v"
    failure_domain = "d"
    data_folder = "/nowhere"
    [listen]
    peers = "127.0.0.1:1"
    [discovery]
    seeds = "127.0.0.1:1"
    peer_port = 1
    [cell]
    control = "127.0.0.1:2"
    [timing]
    election_timeout_ms = 500
    leader_beat_ms = 100
"""


def parsed():
    """The checked settings of a controller."""
    settings, problems = settings_parser.parse(SETTINGS, "virtual", "controller")
    assert not problems, problems
    return settings
