/**
 * Runs a reducer: events in, effects out, one at a time.
 *
 * @module
 */

/** Takes events in the order in which they happen. */
export interface Loop<Event> {
  dispatch(event: Event): void;
}

/**
 * Creates a loop. An event that is dispatched while effects are being
 * performed waits until they are done, so that effects are never interleaved.
 */
export function createLoop<Event, Effect>(fields: {
  reduce: (event: Event) => Effect[];
  perform: (effect: Effect) => void;
  /** Told of an error of the reducer before it is thrown. */
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

  /** The state is not trusted after an error, so that the process must end. */
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
