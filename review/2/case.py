"""Three of five machines lose power while the last engines of a software version leave; clients take their streams up
again when these machines are back."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from platform_standin import Fleet, FrontProxy, Store, run_case  # noqa: E402
from streams import CONFIG, EVENTS, Client, ModelEngine  # noqa: E402

STREAMS = 40
RELEASE_GAP_S = 0.71
DARK = (2, 3, 4)
DARK_S = 2.0
LINGER_S = 0.2


async def main(record, trouble):
    store = Store()
    await store.start()
    engines = [ModelEngine(store, record, f"i-old{n}", "bergamot-pool", version="v1") for n in range(4)]
    for engine in engines:
        await engine.start()
    await store.put("op/config", CONFIG)
    fleet = Fleet(record, store, ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c"])
    proxies = [FrontProxy(fleet.front(index)) for index in range(len(fleet.nodes))]
    for proxy in proxies:
        await proxy.start()
    tasks = []

    async def release(olds, first):
        """Replaces engines one after the other; the new one starts first."""
        for number, old in enumerate(olds):
            new = ModelEngine(store, record, f"i-new{first + number}", "bergamot-pool", version="v2")
            engines.append(new)
            await new.start()
            tasks.append(asyncio.create_task(old.leave(LINGER_S)))
            if number + 1 < len(olds):
                await asyncio.sleep(RELEASE_GAP_S)

    try:
        for index in range(len(fleet.nodes)):
            fleet.start(index)
        await fleet.wait_ready(20)
        await asyncio.sleep(4)
        await release(engines[:2], 0)
        await asyncio.sleep(4)
        clients = [Client(record, proxies, index) for index in range(STREAMS)]
        streams = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(0.8)
        await release(engines[2:4], 2)
        await asyncio.sleep(0.4)
        if trouble:
            for index in DARK:
                proxies[index].is_dark = True
                fleet.kill(index)
            await asyncio.sleep(DARK_S)
            for index in DARK:
                fleet.start(index)
                proxies[index].is_dark = False
        await asyncio.gather(*streams)
        mixed = [client.index for client in clients if len(client.versions()) > 1]
        whole = sum(1 for client in clients if [number for number, _ in client.events] == list(range(1, EVENTS + 1)))
        record.write("streams", all=STREAMS, whole=whole, of_two_versions=len(mixed))
        print(f"{len(mixed)} of {STREAMS} streams hold events of two software versions; {whole} are complete")
        # The rule allows two.
        return len(mixed) > 2
    finally:
        fleet.stop()
        for task in tasks:
            task.cancel()
        for server in engines + proxies:
            await server.stop()
        await store.stop()


run_case(main, FOLDER)
