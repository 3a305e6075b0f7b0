/**
 * Runs a reducer: takes events one at a time and performs their effects.
 *
 * @module
 */

/** Event loop of a reducer. */
export interface Loop<Event> {
  /** Reduces the event and performs its effects, in the order of dispatch. */
  dispatch(event: Event): void;
}

/**
 * Creates a loop. An event that is dispatched while effects are being performed
 * waits until they are done, so that the effects of two events never mix. After
 * an error of the reducer or an effect, the waiting events are dropped and the
 * error is thrown.
 */
export function createLoop<Event, Effect>(fields: {
  reduce: (event: Event) => Effect[];
  perform: (effect: Effect) => void;
  /** Called with an error of the reducer before it is thrown. */
  onFailure?: (error: unknown) => void;
}): Loop<Event> {
  const waiting: Event[] = [];
  let running = false;

  function drain(): void {
    for (let index = 0; index < waiting.length; index++) {
      for (const effect of reduce(waiting[index]!)) fields.perform(effect);
    }
    waiting.length = 0;
  }

  /** The state may be wrong after an error, so the process must end. */
  function reduce(event: Event): Effect[] {
    try {
      return fields.reduce(event);
    } catch (error) {
      fields.onFailure?.(error);
      throw error;
    }
  }

  function dispatch(event: Event): void {
    waiting.push(event);
    if (running) return;
    running = true;
    try {
      drain();
    } finally {
      running = false;
      waiting.length = 0;
    }
  }

  return { dispatch };
}
