/**
 * The log of a process: JSON lines by pino, written in the background and bounded. All
 * components share one level, which can be changed at run time.
 */
import { destination, pino, type DestinationStream, type Logger } from "pino";
import { Log, type LogFields } from "../../protocol/platform/Log.ts";
import { parseLogLevel, type LogLevel } from "../../protocol/settings/LogLevel.ts";
import { BoundedLogStream } from "./BoundedLogStream.ts";

const STDOUT = 1;
/** Maximum number of bytes that wait for their reader: several thousand lines. */
const MAX_PENDING_BYTES = 1_048_576;

/** Log that writes JSON lines. */
export class PinoLog extends Log {
  private readonly _logger: Logger;
  private readonly _prefix: string;

  private constructor(logger: Logger, prefix: string) {
    super();
    this._logger = logger;
    this._prefix = prefix;
  }

  /**
   * Creates the log of a process.
   * @param level - Lowest level that is written.
   * @param process - Name of the process, written into each line.
   * @param stream - Destination of the lines; standard output by default.
   */
  static create(
    level: LogLevel,
    process: string,
    stream: DestinationStream = new BoundedLogStream(
      destination({ dest: STDOUT, sync: false }),
      MAX_PENDING_BYTES,
    ),
  ): PinoLog {
    const options = {
      level,
      base: { process },
      timestamp: pino.stdTimeFunctions.isoTime,
      formatters: { level: (label: string) => ({ level: label }) },
    };
    return new PinoLog(pino(options, stream), "main");
  }

  override child(name: string): PinoLog {
    return new PinoLog(this._logger, name);
  }

  override debug(message: string, fields: LogFields = {}): void {
    this._logger.debug(fields, this._format(message));
  }

  override info(message: string, fields: LogFields = {}): void {
    this._logger.info(fields, this._format(message));
  }

  override warn(message: string, fields: LogFields = {}): void {
    this._logger.warn(fields, this._format(message));
  }

  override error(message: string, fields: LogFields = {}): void {
    this._logger.error(fields, this._format(message));
  }

  override flush(): Promise<void> {
    return new Promise((resolve) => {
      this._logger.flush(() => {
        resolve();
      });
    });
  }

  /** Gets the level of all components. */
  getLevel(): LogLevel {
    return parseLogLevel(this._logger.level) ?? "info";
  }

  /**
   * Changes the level of all components.
   * @param level - Lowest level that is written.
   */
  setLevel(level: LogLevel): void {
    this._logger.level = level;
  }

  private _format(message: string): string {
    return `${this._prefix}: ${message}`;
  }
}
