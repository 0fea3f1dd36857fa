import type {Draft} from '../draft.js';
import {suggestion} from './violation.js';
import type {Violation} from './violation.js';

/** A declared dependency of one service on another, with its path. */
interface Edge {
  readonly from: string;
  readonly to: string;
  readonly share: number | undefined;
  readonly path: readonly PropertyKey[];
}

function edgesOf(draft: Draft): Edge[] {
  return Object.entries(draft.services).flatMap(([from, service]) =>
    (service?.dependsOn ?? []).flatMap((dependency, index) => {
      if (dependency?.service === undefined) return [];
      const path = ['services', from, 'dependsOn', index];
      return [{from, to: dependency.service, share: dependency.share, path}];
    }),
  );
}

/**
 * Finds dependencies on services that are not declared.
 * @param draft - the text
 */
export function missingDependencies(draft: Draft): Violation[] {
  const names = Object.keys(draft.services);
  return edgesOf(draft)
    .filter(({to}) => !Object.hasOwn(draft.services, to))
    .map(({to, path}) => ({
      path: [...path, 'service'],
      message: `service ${to} is not declared${suggestion(to, names)}`,
      rule: 'missing-dependency',
    }));
}

/**
 * Finds dependencies that one service declares twice.
 * @param draft - the text
 */
export function duplicateDependencies(draft: Draft): Violation[] {
  const seen = new Set<string>();
  return edgesOf(draft).flatMap(({from, to, path}) => {
    const pair = `${from} ${to}`;
    if (!seen.has(pair)) {
      seen.add(pair);
      return [];
    }
    const message = `${from} depends on ${to} more than once`;
    return [{path, message, rule: 'duplicate-name'}];
  });
}

/** Depth-first search for dependency cycles; visits each service once. */
class CycleSearch {
  readonly found: Violation[] = [];
  private readonly visited = new Set<string>();
  private readonly stack: string[] = [];
  private readonly edges = new Map<string, Edge[]>();

  constructor(draft: Draft) {
    for (const edge of edgesOf(draft)) {
      const known = this.edges.get(edge.from);
      if (known) known.push(edge);
      else this.edges.set(edge.from, [edge]);
    }
  }

  visit(name: string): void {
    if (this.visited.has(name)) return;
    this.stack.push(name);
    for (const edge of this.edges.get(name) ?? []) this.follow(edge);
    this.stack.pop();
    this.visited.add(name);
  }

  private follow({to, path}: Edge): void {
    const start = this.stack.indexOf(to);
    if (start < 0) return this.visit(to);
    const cycle = [...this.stack.slice(start), to].join(' -> ');
    const message = `dependency cycle: ${cycle}`;
    this.found.push({path, message, rule: 'dependency-cycle'});
  }
}

/**
 * Finds dependency cycles and reports each at the item that closes it.
 * @param draft - the text
 */
export function dependencyCycles(draft: Draft): Violation[] {
  const search = new CycleSearch(draft);
  for (const name of Object.keys(draft.services)) search.visit(name);
  return search.found;
}

/** Rounding error allowed in sums of decimal shares. */
const SHARE_ROUNDING = 1e-9;

/**
 * Finds services whose capacity shares sum to more than 1.
 * @param draft - the text
 */
export function oversubscribedShares(draft: Draft): Violation[] {
  const sums = new Map<string, number>();
  return edgesOf(draft).flatMap(({to, share = 0, path}) => {
    const before = sums.get(to) ?? 0;
    const sum = before + share;
    sums.set(to, sum);
    if (sum <= 1 + SHARE_ROUNDING || before > 1 + SHARE_ROUNDING) return [];
    const message = `shares of ${to} sum to more than 1 from here on`;
    return [{path, message, rule: 'share-sum'}];
  });
}

/**
 * Finds shares that are too small to allow a single call.
 * @param draft - the text
 */
export function ineffectiveShares(draft: Draft): Violation[] {
  return edgesOf(draft).flatMap(({to, share, path}) => {
    const called = Object.hasOwn(draft.services, to)
      ? draft.services[to]
      : undefined;
    const concurrency = called?.limits?.concurrency;
    const counts = Object.values(called?.upstreams ?? {});
    if (share === undefined || concurrency === undefined) return [];
    if (counts.length === 0 || counts.includes(undefined)) return [];
    const upstreams = counts.reduce<number>((sum, n) => sum + (n ?? 0), 0);
    const calls = upstreams * concurrency;
    if (share * calls >= 1) return [];
    const message = `a share of ${share} of ${calls} calls allows none`;
    return [{path, message, rule: 'contradicting-limits'}];
  });
}
