import type {EngineOrder, EngineState} from '../src/expert_groups/index.js';

/** Fields of an engine's state that orders modify. */
export interface OrderedState {
  map: EngineState['map'];
  hold: EngineState['hold'];
  next: EngineState['next'];
}

/**
 * Applies an order to an engine that can hold at a named step. An order that
 * does not match the engine's state is ignored.
 * @param engine - state of the engine, modified in place
 * @param startedStep - latest step that the engine started
 * @param order - order to apply
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
