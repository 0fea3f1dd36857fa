/**
 * Returns one line for each value of a document, with its path, so that a line diff
 * of two documents names what a changed value belongs to.
 * @param value - any JSON value
 * @param nameOf - returns the name of a list's item; items without one have their
 *     number
 * @param path - path of the value
 */
export function flatLines(
  value: unknown,
  nameOf: (item: unknown) => string | undefined,
  path = '',
): string[] {
  if (Array.isArray(value)) {
    if (value.length === 0) return [`${path} = []`];
    return value.flatMap((item: unknown, i) =>
      flatLines(item, nameOf, `${path}[${nameOf(item) ?? i + 1}]`),
    );
  }
  if (typeof value !== 'object' || value === null) {
    return [`${path} = ${JSON.stringify(value)}`];
  }
  const entries = Object.entries(value);
  if (entries.length === 0) return [`${path} = {}`];
  return entries
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .flatMap(([key, item]) =>
      flatLines(item, nameOf, path === '' ? key : `${path}.${key}`),
    );
}
