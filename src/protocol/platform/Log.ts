/**
 * The log as the parts of the system see it: short sentences with a fixed prefix for each part.
 */

/** Values that belong to a log sentence. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Log of one part. */
export abstract class Log {
  /**
   * Gives the log of a part; its lines carry the part's name as a prefix.
   * @param name - Name of the part.
   */
  abstract child(name: string): Log;

  /**
   * Writes what helps to follow a fault.
   * @param message - Short sentence.
   * @param fields - Values that belong to it.
   */
  abstract debug(message: string, fields?: LogFields): void;

  /**
   * Writes what an operator may want to know.
   * @param message - Short sentence.
   * @param fields - Values that belong to it.
   */
  abstract info(message: string, fields?: LogFields): void;

  /**
   * Writes what an operator should look at.
   * @param message - Short sentence.
   * @param fields - Values that belong to it.
   */
  abstract warn(message: string, fields?: LogFields): void;

  /**
   * Writes what needs an operator.
   * @param message - Short sentence.
   * @param fields - Values that belong to it.
   */
  abstract error(message: string, fields?: LogFields): void;
}
