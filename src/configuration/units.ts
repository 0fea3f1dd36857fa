import {z} from 'zod';

const DURATION = /^(\d+(?:\.\d+)?) ?(ms|s|min|h)$/;
const DURATION_MS: Record<string, number> = {
  ms: 1,
  s: 1_000,
  min: 60_000,
  h: 3_600_000,
};

const SIZE = /^(\d+(?:\.\d+)?) ?(B|KiB|MiB|GiB)$/;
const SIZE_BYTES: Record<string, number> = {
  B: 1,
  KiB: 2 ** 10,
  MiB: 2 ** 20,
  GiB: 2 ** 30,
};

/** A span of time with its unit, such as `250 ms`; ms once parsed. */
export const duration = z
  .string('needs a unit, such as "250 ms" or "30 s"')
  .regex(DURATION, 'needs a number and a unit: ms, s, min or h')
  .transform(text => {
    const [, amount, unit] = DURATION.exec(text) ?? [];
    return Number(amount) * (DURATION_MS[unit ?? ''] ?? NaN);
  });

/** An amount of memory with its unit, such as `64 MiB`; bytes once parsed. */
export const size = z
  .string('needs a unit, such as "64 MiB"')
  .regex(SIZE, 'needs a number and a unit: B, KiB, MiB or GiB')
  .transform(text => {
    const [, amount, unit] = SIZE.exec(text) ?? [];
    return Math.round(Number(amount) * (SIZE_BYTES[unit ?? ''] ?? NaN));
  });
