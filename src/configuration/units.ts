import {z} from 'zod';

const DURATION = /^(\d{1,9}(?:\.\d{1,9})?) ?(ms|s|min|h)$/;
const DURATION_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  min: 60_000,
  h: 3_600_000,
};

const SIZE = /^(\d{1,9}(?:\.\d{1,9})?) ?(B|KiB|MiB|GiB)$/;
const SIZE_BYTES: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 2 ** 10,
  MiB: 2 ** 20,
  GiB: 2 ** 30,
};

/** Parses an amount that matches `pattern`, in the smallest unit. */
function amountOf(
  text: string,
  pattern: RegExp,
  units: Readonly<Record<string, number>>,
): number {
  const [, amount, unit = ''] = pattern.exec(text) ?? [];
  return Number(amount) * (units[unit] ?? NaN);
}

/** A duration with its unit, such as `250 ms`; ms once parsed. */
export const duration = z
  .string('needs a unit, such as "250 ms" or "30 s"')
  .regex(DURATION, 'needs a number and a unit: ms, s, min or h')
  .transform(text => amountOf(text, DURATION, DURATION_MS));

/** An amount of memory with its unit, such as `64 MiB`; bytes once parsed. */
export const size = z
  .string('needs a unit, such as "64 MiB"')
  .regex(SIZE, 'needs a number and a unit: B, KiB, MiB or GiB')
  .transform(text => Math.round(amountOf(text, SIZE, SIZE_BYTES)));
