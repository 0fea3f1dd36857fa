/**
 * Counts the work that a function does on buffers, which doesn't depend on the speed of
 * the machine.
 * @param run - the function
 * @returns bytes that it searches and copies
 */
export function bufferWork(run: () => void): number {
  let bytes = 0;
  const {concat} = Buffer;
  const {indexOf, copy} = Buffer.prototype;
  Buffer.concat = (...args) => {
    const joined = concat.apply(Buffer, args);
    bytes += joined.length;
    return joined;
  };
  Buffer.prototype.indexOf = function (
    this: Buffer,
    value: string | number | Uint8Array,
    from?: number | BufferEncoding,
    ...rest: []
  ) {
    const found = indexOf.call(this, value, from, ...rest);
    const start = typeof from === 'number' ? from : 0;
    bytes += (found === -1 ? this.length : found + 1) - start;
    return found;
  };
  Buffer.prototype.copy = function (
    this: Buffer,
    ...args: Parameters<typeof copy>
  ) {
    const copied = copy.apply(this, args);
    bytes += copied;
    return copied;
  };
  const views = Object.getPrototypeOf(Uint8Array.prototype) as Uint8Array;
  const {set} = views;
  views.set = function (this: Uint8Array, source, at) {
    bytes += source.length;
    set.call(this, source, at);
  };
  try {
    run();
  } finally {
    Buffer.concat = concat;
    Object.assign(Buffer.prototype, {indexOf, copy});
    views.set = set;
  }
  return bytes;
}
