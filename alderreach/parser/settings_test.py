"""Tests that a settings file is validated in full, with a line for each mistake."""

from alderreach.core import problems
from alderreach.parser import settings

GOOD = """\
[process]
cell = "cell"
name = "placer-1"
vm = "vm-1"
failure_domain = "urubici"
data_folder = "run/placer-1"

[listen]
peers = "127.0.0.1:7002"
targets = "127.0.0.1:7082"

[[peer]]
name = "placer-1"
role = "placer"
failure_domain = "urubici"
address = "127.0.0.1:7002"

[[peer]]
name = "keeper-1"
role = "keeper"
failure_domain = "urubici"
address = "127.0.0.1:7003"
"""


def test_peers_of_good_settings_exclude_the_process_itself():
    loaded, mistakes = settings.parse(GOOD, "placer.toml", "placer")
    assert mistakes == []
    assert [peer.name for peer in loaded.peers] == ["keeper-1"]
    assert loaded.timing.owner_lease_ms == 2000


def test_every_mistake_is_shown_with_its_line():
    bad = GOOD.replace('vm = "vm-1"', "vm = 7").replace("127.0.0.1:7003", "keeper:x")
    bad += '\n[limits]\nbody_bytes = 0\ncolour = "red"\n'
    loaded, mistakes = settings.parse(bad, "placer.toml", "placer")
    assert loaded is None
    assert [problems.show(mistake) for mistake in mistakes] == [
        "placer.toml:4: process.vm: must be of type str",
        "placer.toml:26: limits.colour: is no known key",
        "placer.toml:25: limits.body_bytes: must be from 1 to 1073741824",
        "placer.toml:22: peer.1.address: 'keeper:x' is not an IP number and port, "
        "host:port",
    ]


def test_syntax_error_names_its_line():
    _, mistakes = settings.parse("[process]\nname = \n", "x.toml", "keeper")
    assert mistakes[0].line == 2


def test_a_controller_needs_seeds_and_a_listener_for_workers():
    text = """
[process]
cell = "c"
name = "k"
vm = "v"
failure_domain = "d"
data_folder = "/x"
[listen]
peers = "127.0.0.1:1"
[discovery]
found = "perhaps"
"""
    _settings, mistakes = settings.parse(text, "f", "controller")
    assert [(mistake.key, mistake.message) for mistake in mistakes] == [
        ("discovery.seeds", "is required for the role controller"),
        ("cell.control", "is required for the role controller"),
        ("discovery.found", "must be yes or no"),
    ]
