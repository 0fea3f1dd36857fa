import {measureEncodings} from './control/encodings.js';
import {measureLive} from './control/live_estate.js';
import {measureSlope} from './control/slopes.js';

const CHANGES = 30;
/** Zones and nodes per zone; zones of the last two have the target's size. */
const SIZES: readonly [number, number][] = [
  [3, 10],
  [3, 33],
  [3, 100],
  [3, 300],
  [10, 88],
  [19, 88],
];

function print(title: string, lines: readonly string[]): void {
  process.stdout.write(`${title}\n`);
  for (const line of lines) process.stdout.write(`  ${line}\n`);
}

function row(zones: number, perZone: number, relay: boolean): string {
  const slope = measureSlope(zones, perZone, relay);
  const rounded = Object.entries(slope).map(
    ([key, value]) =>
      `${key}=${typeof value === 'number' ? Number(value.toFixed(3)) : value}`,
  );
  return `zones=${zones} ${rounded.join(' ')}`;
}

print('Encodings', measureEncodings());
print('Live daemons', await measureLive(CHANGES));
for (const [zones, perZone] of SIZES) {
  print('Relay', [row(zones, perZone, true)]);
  if (zones === 3) print('Each reads the log', [row(zones, perZone, false)]);
}
