import type {Draft} from '../draft.js';
import type {Violation} from './violation.js';

interface RouteKey {
  readonly method: string;
  readonly path: string;
}

function covers(earlier: RouteKey, later: RouteKey): boolean {
  if (earlier.method !== later.method) return false;
  if (!earlier.path.endsWith('*')) return false;
  return later.path.startsWith(earlier.path.slice(0, -1));
}

/**
 * Finds duplicate routes and routes shadowed by an earlier one.
 * @param draft - the text
 */
export function routeConflicts({services}: Draft): Violation[] {
  const found: Violation[] = [];
  for (const [name, service] of Object.entries(services)) {
    const earlier: RouteKey[] = [];
    service?.routes?.forEach((route, index) => {
      const {method, path: target} = route ?? {};
      if (method === undefined || target === undefined) return;
      const later = {method, path: target};
      const label = `${method} ${target}`;
      const path = ['services', name, 'routes', index];
      const isDuplicate = earlier.some(
        e => e.method === method && e.path === target,
      );
      const cover = earlier.find(other => covers(other, later));
      if (isDuplicate) {
        const message = `route ${label} is declared twice`;
        found.push({path, message, rule: 'duplicate-route'});
      } else if (cover !== undefined) {
        const message = `route ${label} is never reached behind ${cover.path}`;
        found.push({path, message, rule: 'unreachable-route'});
      }
      earlier.push(later);
    });
  }
  return found;
}
