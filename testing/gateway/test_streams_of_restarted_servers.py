"""Streams that begin at a server that started again with another version.

Guards against pieces of two software versions in one stream (rule ORDER): until
the new process has registered, its entry states the version of the former one,
which was taken for the version that began the stream.
"""

from testing.gateway import test_restarts_in_place as restarts
from testing.gateway import test_software_versions as versions


async def move(world, source, target_version="v1"):
    """Announces that a server leaves, by the entry of its former process."""
    world.store.write(
        f"servers/{source.name}",
        source.registry_entry(
            version=target_version,
            state="draining",
            leaves_ms=900,
            sequence=2,
            born=1_700_000_000_000,
        ),
    )


# The source's new process takes the order that was meant for the former one.
async def test_a_run_of_a_new_process_is_not_migrated_to_the_former_version(
    world,
):
    await world.start(engines=0)
    source, target = await versions.add_engines(world, "v1", "v1")
    source.event_count = target.event_count = 85
    await source.restart("v2")
    versions.load_servers(world, target)
    client = await versions.start_stream(world, source, "/stream/fixed/1")
    await move(world, source)
    response = await client.receive()
    assert response.complete
    assert versions.positions(response.body) == list(range(1, 86))
    assert restarts.versions_in(response.body) == {"v2"}


# The target's new process holds the copy, which the former version made.
async def test_a_run_does_not_go_on_at_a_target_that_started_again(world):
    await world.start(engines=0)
    source, target = await versions.add_engines(world, "v1", "v1")
    source.event_count = target.event_count = 85
    versions.load_servers(world, target)
    client = await versions.start_stream(world, source, "/stream/fixed/1")
    await target.restart("v2")
    await move(world, source)
    response = await client.receive()
    assert response.complete
    assert versions.positions(response.body) == list(range(1, 86))
    assert restarts.versions_in(response.body) == {"v1"}
