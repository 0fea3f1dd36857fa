import type {RequestId} from '../../direct/index.js';
import type {Containment} from '../../observability/index.js';

/** Contains the exceptions of one request, which end that request alone. */
export class RequestContainment {
  /**
   * @param containment - logs and counts exceptions
   * @param id - id of the request
   * @param steps - steps that end the request; each runs even if others throw
   */
  constructor(
    private readonly containment: Containment,
    private readonly id: RequestId | undefined,
    private readonly steps: readonly (() => void)[],
  ) {}

  /**
   * Runs a callback of the request.
   * @param work - the callback
   */
  run(work: () => void): void {
    const {containment, id} = this;
    containment.run('request', {id}, work, () => {
      for (const step of this.steps) containment.run('request', {id}, step);
    });
  }

  /**
   * Returns a callback whose exceptions are contained.
   * @param work - the callback
   */
  wrap<Args extends unknown[]>(
    work: (...args: Args) => void,
  ): (...args: Args) => void {
    return (...args) => this.run(() => work(...args));
  }
}
