#!/usr/bin/env python3
"""Plays days of one's own on the users' bench: each kind of trouble alone, at three moments, twice at once and together
with each trouble of the store, and tabulates which rules they break.

    FLEETBENCH=PATH scripts/days.py SITE.toml [--kinds a,b] [--pairs] [--jobs N] --why TEXT

Exits with 1 if a rule was broken. The days that broke one stay in the folder that is printed.
"""

import argparse
import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import tomllib

RULES = ('MIXED UNASKED TWICE REFUSED DENIED BUDGET GONE LOST CONFIG ROUTE DRAIN ORDER RECOVER EVAC FAILBACK HOME').split()
# Moments of a day of 34 s: its begin, its middle, and close to its end.
MOMENTS = [1.0, 12.0, 24.0]
# Planned work stands apart from faults in a day.
PLANNED = {'evacuate', 'config_storm', 'release', 'scale_out', 'scale_in', 'roll_term', 'add_nodes', 'hup', 'config_change', 'big_config', 'revoke'}
# Variants that the sites do not list themselves; any kind may come anywhere.
FURTHER = [
    {'kind': 'srv_cut', 'share': 0.2, 'for_s': 5.0},
    {'kind': 'srv_cut', 'share': 0.3, 'for_s': 5.0, 'how': 'one_way'},
    {'kind': 'srv_cut', 'share': 0.3, 'for_s': 5.0, 'how': 'reborn'},
    {'kind': 'srv_cut', 'share': 0.3, 'for_s': 5.0, 'how': 'some'},
    {'kind': 'replace_with_reuse', 'share': 0.3},
    {'kind': 'replace_with_reuse', 'share': 0.3, 'how': 'drain'},
    {'kind': 'replace_with_reuse', 'share': 0.3, 'how': 'dark'},
    {'kind': 'herd_kill', 'share': 0.6, 'for_s': 2.0},
    {'kind': 'herd_kill', 'share': 1.0, 'for_s': 2.0, 'how': 'power'},
    {'kind': 'after_ack_kill', 'count': 2, 'how': 'timed'},
    {'kind': 'clock_step', 'share': 0.6, 'x': 4000, 'for_s': 5.0, 'how': 'ahead'},
    {'kind': 'clock_step', 'share': 0.6, 'x': 4000, 'for_s': 5.0, 'how': 'back'},
    {'kind': 'reset_conns', 'share': 0.6, 'x': 0.7},
    {'kind': 'node_freeze', 'share': 0.5, 'for_s': 3.0},
    {'kind': 'node_slow', 'share': 0.5, 'x': 5.0, 'for_s': 5.0},
    {'kind': 'srv_grey', 'share': 0.3, 'x': 0.5, 'for_s': 5.0, 'how': 'errors'},
    {'kind': 'srv_grey', 'share': 0.3, 'x': 0.5, 'for_s': 5.0, 'how': 'shed'},
    {'kind': 'srv_grey', 'share': 0.3, 'x': 0.5, 'for_s': 5.0, 'how': 'busy'},
    {'kind': 'srv_grey', 'share': 0.3, 'x': 0.5, 'for_s': 5.0, 'how': 'hang'},
    {'kind': 'srv_grey', 'share': 0.3, 'x': 0.5, 'for_s': 5.0, 'how': 'reset'},
    {'kind': 'srv_grey', 'share': 0.3, 'x': 0.5, 'for_s': 5.0, 'how': 'mute'},
    {'kind': 'garble', 'share': 0.5, 'x': 0.05, 'for_s': 5.0},
    {'kind': 'garble', 'share': 0.5, 'x': 0.05, 'for_s': 5.0, 'how': 'unframed'},
    {'kind': 'garble', 'share': 0.5, 'x': 0.05, 'for_s': 5.0, 'how': 'extra'},
    {'kind': 'garble', 'share': 0.5, 'x': 0.05, 'for_s': 5.0, 'how': 'early'},
    {'kind': 'garble', 'share': 0.5, 'x': 0.05, 'for_s': 5.0, 'how': 'rot'},
    {'kind': 'scale_in', 'share': 0.2, 'how': 'spot'},
    {'kind': 'scale_in', 'share': 0.2, 'how': 'reclaim'},
    {'kind': 'scale_out', 'share': 0.3},
    {'kind': 'add_nodes'},
    {'kind': 'hup', 'share': 1.0},
    {'kind': 'give_up', 'share': 0.5, 'for_s': 5.0},
    {'kind': 'give_up', 'share': 0.5, 'for_s': 5.0, 'how': 'once'},
    {'kind': 'roll_term', 'share': 1.0, 'x': 2, 'gap_s': 1.0},
    {'kind': 'core_cut', 'for_s': 4.0, 'how': 'all'},
    {'kind': 'core_cut', 'for_s': 4.0, 'how': 'one_way'},
    {'kind': 'core_cut', 'for_s': 4.0, 'how': 'seeds'},
    {'kind': 'node_cut', 'share': 0.5, 'for_s': 5.0, 'how': 'all'},
    {'kind': 'node_cut', 'share': 0.4, 'for_s': 5.0, 'how': 'servers'},
    {'kind': 'config_change', 'how': 'route'},
    {'kind': 'config_change', 'how': 'weights'},
    {'kind': 'config_change', 'how': 'timeout'},
]
STORE_TROUBLES = [
    {'kind': 'platform_down', 'for_s': 5.0, 'how': 'silent'},
    {'kind': 'platform_down', 'for_s': 5.0, 'how': 'reset lapse'},
    {'kind': 'platform_slow', 'for_s': 5.0, 'x': 60.0},
    {'kind': 'platform_lost', 'for_s': 5.0, 'x': 0.35, 'how': 'late'},
    {'kind': 'platform_compact', 'for_s': 5.0, 'how': 'drain'},
]


def toml(value):
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, str):
        return '"' + value + '"'
    if isinstance(value, dict):
        return '{ ' + ', '.join(f'{key} = {toml(one)}' for key, one in value.items()) + ' }'
    if isinstance(value, list):
        return '[' + ', '.join(toml(one) for one in value) + ']'
    return repr(value)


def label(trouble):
    return ' '.join([trouble['kind'], *([trouble['how']] if trouble.get('how') else [])])


def write_day(folder, name, base, seed, troubles):
    day = {key: value for key, value in base.items() if key not in ('name', 'seed', 'plan', 'faults', 'closing')}
    day.update(name=name, seed=seed, plan=[one for one in troubles if one['kind'] in PLANNED],
               faults=[one for one in troubles if one['kind'] not in PLANNED])
    path = folder / (name + '.toml')
    path.write_text('[[day]]\n' + ''.join(f'{key} = {toml(value)}\n' for key, value in day.items()))
    return path


def days_of(site, arguments):
    """Yields a label and the troubles of each day."""
    troubles = site['troubles'] + FURTHER
    if arguments.kinds:
        troubles = [one for one in troubles if one['kind'] in arguments.kinds.split(',')]
    for trouble in troubles:
        if arguments.pairs:
            for store in STORE_TROUBLES:
                yield label(trouble) + ' + ' + label(store), [{**trouble, 'at': 12.0}, {**store, 'at': 11.0}]
            continue
        for moment in MOMENTS:
            yield label(trouble), [{**trouble, 'at': moment}]
        yield label(trouble) + ' twice', [{**trouble, 'at': 12.0}, {**trouble, 'at': 13.0}]


def play(bench, site, path, why):
    done = subprocess.run([bench, 'run', site, str(path), '--no-cpu', '--why', why], capture_output=True, text=True)
    text = done.stdout + done.stderr
    broken = sorted({rule for rule in RULES if re.search(rf'\b{rule}\b', text)})
    if not re.search(r'^worth ', text, re.M):
        broken.append('not played')
    return broken, text


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('site')
    parser.add_argument('--kinds', help='only these kinds, separated by commas')
    parser.add_argument('--pairs', action='store_true', help='each kind with each trouble of the store instead')
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--why', required=True)
    arguments = parser.parse_args()
    bench = os.environ.get('FLEETBENCH')
    if not bench:
        parser.error('FLEETBENCH names no program')
    site = tomllib.loads(pathlib.Path(arguments.site).read_text())
    base = next(day for day in site['day'] if day['slot'] == 'quiet')
    folder = pathlib.Path(tempfile.mkdtemp(prefix='days-'))
    jobs = []
    for number, (name, troubles) in enumerate(days_of(site, arguments)):
        jobs.append((name, write_day(folder, f'own-{number}', base, 1000 + number, troubles)))
    tally = {}
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        plays = pool.map(lambda job: play(bench, arguments.site, job[1], arguments.why), jobs)
        for (name, path), (broken, text) in zip(jobs, plays):
            played, bad = tally.setdefault(name, [0, []])
            tally[name][0] = played + 1
            if not broken:
                path.unlink()
                continue
            bad.append(f"{path.name}: {', '.join(broken)}")
            path.with_suffix('.log').write_text(text)
    total = sum(played for played, _ in tally.values())
    bad_days = sum(len(bad) for _, bad in tally.values())
    for name, (played, bad) in sorted(tally.items()):
        if bad:
            print(f'{name}: {len(bad)} of {played}: {"; ".join(bad)}')
    print(f'{total} days, {bad_days} with a broken rule; {folder}')
    return 1 if bad_days else 0


if __name__ == '__main__':
    sys.exit(main())
