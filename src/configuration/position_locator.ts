import {isAlias, isMap, isNode, isScalar, isSeq} from 'yaml';
import type {Document, LineCounter, Node, Pair} from 'yaml';

/** A position in a text; line and column start at 1. */
export interface Position {
  readonly line: number;
  readonly column: number;
}

/** Locates paths in a YAML document. */
export class PositionLocator {
  /**
   * @param document - the parsed text
   * @param lines - offsets of its line starts
   */
  constructor(
    private readonly document: Document,
    private readonly lines: LineCounter,
  ) {}

  /**
   * Returns the position of the deepest existing value along a path.
   * @param path - names and indexes from the root
   * @param atKey - whether to locate the last name rather than its value
   */
  positionOf(path: readonly PropertyKey[], atKey = false): Position {
    let node = this.resolve(this.document.contents);
    let offset = node?.range?.[0] ?? 0;
    for (const [depth, step] of path.entries()) {
      const pair = pairOf(node, step);
      const item = pair === undefined ? itemOf(node, step) : pair.value;
      if (pair === undefined && item === undefined) break;
      const isKey = atKey && depth === path.length - 1;
      node = this.resolve(item);
      // An empty value has no position of its own.
      const located = isKey || node === undefined ? pair?.key : item;
      offset = startOf(located) ?? startOf(pair?.key) ?? offset;
    }
    return this.positionAt(offset);
  }

  /**
   * Returns the position of an offset.
   * @param offset - UTF-16 units from the start
   */
  positionAt(offset: number): Position {
    const {line, col} = this.lines.linePos(offset);
    return {line: Math.max(line, 1), column: Math.max(col, 1)};
  }

  private resolve(node: unknown): Node | undefined {
    if (isAlias(node)) return node.resolve(this.document);
    return isNode(node) ? node : undefined;
  }
}

function pairOf(node: Node | undefined, step: PropertyKey): Pair | undefined {
  if (!isMap(node)) return undefined;
  const wanted = String(step);
  return node.items.findLast(
    ({key}) => String(isScalar(key) ? key.value : key) === wanted,
  );
}

function itemOf(node: Node | undefined, step: PropertyKey): unknown {
  return isSeq(node) ? node.items[Number(step)] : undefined;
}

function startOf(node: unknown): number | undefined {
  return isNode(node) ? node.range?.[0] : undefined;
}
