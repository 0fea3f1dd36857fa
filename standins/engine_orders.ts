import type {EngineOrder, EngineState} from '../src/expert_groups/index.js';

/** The part of an engine's state that orders change. */
export interface OrderedState {
  map: EngineState['map'];
  hold: EngineState['hold'];
  next: EngineState['next'];
}

/**
 * What an engine that holds at a step by name does with an order. One that
 * does not fit its state changes nothing.
 * @param engine - its state, changed in place
 * @param startedStep - latest step that it started
 * @param order - the order
 */
export function applyOrder(
  engine: OrderedState,
  startedStep: number,
  order: EngineOrder,
): void {
  switch (order.kind) {
    case 'stage':
      return;
    case 'hold': {
      const {token, step, replaces} = order;
      if ((engine.hold?.token ?? null) !== replaces) return;
      if (engine.next !== null || step <= startedStep) return;
      engine.hold = {token, step};
      return;
    }
    case 'release': {
      const {hold} = engine;
      if (hold?.token !== order.token) return;
      engine.hold = null;
      if (order.map === engine.map) return;
      engine.next = {map: order.map, step: hold.step};
      return;
    }
    case 'assign':
      if (engine.map !== null) return;
      engine.map = order.map;
      engine.next = order.next;
  }
}
