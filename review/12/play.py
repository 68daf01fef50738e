"""An emptied zone gets work, as an entry missed that the zone was emptied again.

The store turns one of three entries away for some seconds. Meanwhile the operator takes
the evacuation of a zone back and requests it again.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-3'))

import stage as lib

CONTACT_S = 4.0
EVACUATION_S = 5.0
TURNED_AWAY_S = 9.0
EMPTIED = 'cymru-a'
ZONES = ('cymru-a', 'cymru-b', 'cymru-c')
AWAY = 'front-cymru-b-1'
# A margin for the answers on loopback.
MARGIN_S = 0.2
ASKED_FOR_S = 10


async def play(case: lib.Stage, trouble: bool) -> bool:
    """Return whether the emptied zone got no work beyond the bound."""
    case.evacuation_ms = int(EVACUATION_S * 1000)
    routes = [lib.route('lookup', '/lookup/')]
    case.store.write('op', 'config', lib.configuration(3, routes))
    workers = {}
    for zone in ZONES:
        name = f'side-{zone}-1'
        await case.start('agent', name, zone)
        workers[zone] = lib.Worker(
            case.record, case.ip(name), f'worker-{zone}', zone, lambda task: 0.1
        )
    entries = [f'front-{zone}-1' for zone in ZONES]
    for name, zone in zip(entries, ZONES, strict=True):
        await case.start('entry', name, zone)
        # Entries renew their rows in the store every 10 s, not all at the same moment.
        await asyncio.sleep(1)
    await case.wait_ready(entries)
    for worker in workers.values():
        await worker.start()
    await asyncio.sleep(2)
    traffic = [asyncio.create_task(_send(case, name)) for name in entries]
    evacuation = f'evacuate/{EMPTIED}'
    case.store.write('op', evacuation, {})
    await asyncio.sleep(1)
    if trouble:
        case.record.add(f'{AWAY}: the store turns the machine away')
        case.store_links[AWAY].refuse()
    await asyncio.sleep(1)
    case.store.write('op', evacuation, None)
    await asyncio.sleep(3)
    case.store.write('op', evacuation, {})
    acknowledged_at = case.record.now()
    await asyncio.sleep(TURNED_AWAY_S - 4)
    if trouble:
        case.record.add(f'{AWAY}: the store serves the machine again')
        case.store_links[AWAY].mend()
    served_at = case.record.now()
    in_touch_at = max(acknowledged_at + EVACUATION_S, served_at + CONTACT_S) + MARGIN_S
    await asyncio.sleep(in_touch_at + ASKED_FOR_S - case.record.now())
    for each in traffic:
        each.cancel()
    wrong = [run for run in workers[EMPTIED].runs if run.began_at > in_touch_at]
    case.record.add(
        f'{len(wrong)} tasks were started in {EMPTIED} from {in_touch_at:.2f} on; its'
        f' evacuation was acknowledged at {acknowledged_at:.2f}'
    )
    return not wrong


async def _send(case: lib.Stage, entry: str) -> None:
    while True:
        # More than the workers of one zone have room for at once.
        body = lib.job(16, 100)
        await lib.submit(case, entry, '/lookup/', lib.new_id(), body, 1500, quiet=True)
        await asyncio.sleep(0.2)


lib.run_case(__file__, play)
