/**
 * Structured log of the system's components.
 */

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Log of one component. */
export abstract class Log {
  /**
   * Creates the log of a component; its lines have the component's name as a prefix.
   * @param name - Name of the component.
   */
  abstract child(name: string): Log;

  /**
   * Logs a message that helps to trace a fault.
   * @param message - Short sentence.
   * @param fields - Structured fields.
   */
  abstract debug(message: string, fields?: LogFields): void;

  /**
   * Logs a message that may interest an operator.
   * @param message - Short sentence.
   * @param fields - Structured fields.
   */
  abstract info(message: string, fields?: LogFields): void;

  /**
   * Logs a message that an operator should look at.
   * @param message - Short sentence.
   * @param fields - Structured fields.
   */
  abstract warn(message: string, fields?: LogFields): void;

  /**
   * Logs a message about a fault that requires an operator.
   * @param message - Short sentence.
   * @param fields - Structured fields.
   */
  abstract error(message: string, fields?: LogFields): void;

  /** Waits until all lines have been written; a log that writes at once has none to wait for. */
  flush(): Promise<void> {
    return Promise.resolve();
  }
}
