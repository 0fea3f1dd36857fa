import type {Draft, DraftService} from '../draft.js';
import type {Violation} from './violation.js';

const RULE = 'contradicting-limits';

function emptyService(name: string, service: DraftService): Violation[] {
  const {upstreams} = service;
  if (upstreams === undefined || Object.keys(upstreams).length > 0) return [];
  const path = ['services', name, 'upstreams'];
  return [{path, message: `service ${name} has no upstream`, rule: RULE}];
}

function undersizedGroup(
  name: string,
  {expertGroup}: DraftService,
): Violation[] {
  const {ranks, experts, slotsPerRank} = expertGroup ?? {};
  if (ranks === undefined || slotsPerRank === undefined) return [];
  if (experts === undefined || ranks * slotsPerRank >= experts) return [];
  const slots = ranks * slotsPerRank;
  const message = `${ranks} ranks of ${slotsPerRank} slots hold ${slots} experts, not ${experts}`;
  const path = ['services', name, 'expertGroup', 'slotsPerRank'];
  return [{path, message, rule: RULE}];
}

function underusedUpstream(name: string, {limits}: DraftService): Violation[] {
  const {inFlight, concurrency} = limits ?? {};
  if (inFlight === undefined || concurrency === undefined) return [];
  if (inFlight >= concurrency) return [];
  const message = `inFlight ${inFlight} is below concurrency ${concurrency}: an entry alone cannot fill one upstream`;
  const path = ['services', name, 'limits', 'inFlight'];
  return [{path, message, rule: RULE}];
}

/**
 * Finds limits of a service that contradict each other.
 * @param draft - the text
 */
export function contradictingLimits({services}: Draft): Violation[] {
  return Object.entries(services).flatMap(([name, service]) => {
    if (service === undefined) return [];
    const rules = [emptyService, undersizedGroup, underusedUpstream];
    return rules.flatMap(rule => rule(name, service));
  });
}

/**
 * Finds limits of an organisation that can never be reached.
 * @param draft - the text
 */
export function unreachableLimits({organisations}: Draft): Violation[] {
  return Object.entries(organisations).flatMap(([name, organisation]) => {
    const {requestsPerSecond, tokensPerSecond} = organisation?.limits ?? {};
    if (requestsPerSecond === undefined) return [];
    if (tokensPerSecond === undefined) return [];
    if (tokensPerSecond >= requestsPerSecond) return [];
    const message = `tokensPerSecond ${tokensPerSecond} allows fewer than ${requestsPerSecond} requests of a token each`;
    const path = ['organisations', name, 'limits', 'tokensPerSecond'];
    return [{path, message, rule: RULE}];
  });
}
