/**
 * Reads the settings of a running process again when the platform says that they may have changed.
 * The level of the log takes effect at once; everything else does at the next start, which the log
 * says. Settings that cannot be read change nothing.
 */
import { isDeepStrictEqual } from "node:util";
import type { Result } from "neverthrow";
import type { SettingError } from "../protocol/errors/errors.ts";
import type { Log } from "../protocol/platform/Log.ts";
import type { LogLevel } from "../protocol/settings/LogLevel.ts";

type Sections = Readonly<Record<string, object>>;

/** Settings with the level of the log. */
export type ReloadableSettings = Sections & { readonly log: { readonly level: LogLevel } };

/** Dependencies of SettingsReloader. */
export interface SettingsReloaderDependencies<S extends ReloadableSettings> {
  /** Settings with which the process was started. */
  readonly settings: S;
  /** Reads the settings; it may throw if the file cannot be read. */
  readonly read: () => Result<S, readonly SettingError[]>;
  readonly log: Log;
  readonly setLogLevel: (level: LogLevel) => void;
}

/** Reloads the settings of one process. */
export class SettingsReloader<S extends ReloadableSettings> {
  private readonly _deps: SettingsReloaderDependencies<S>;
  private _level: LogLevel;

  /**
   * Creates a reloader.
   * @param deps - Settings at the start, and how they are read.
   */
  constructor(deps: SettingsReloaderDependencies<S>) {
    this._deps = deps;
    this._level = deps.settings.log.level;
  }

  /** Reads the settings and applies what can be applied to the running process. */
  reload(): void {
    try {
      this._deps.read().match(
        (settings) => {
          this._apply(settings);
        },
        (problems) => {
          this._reject(problems.map(({ message }) => message).join("; "));
        },
      );
    } catch (cause) {
      this._reject(String(cause));
    }
  }

  private _apply(settings: S): void {
    const { log, setLogLevel } = this._deps;
    const { level } = settings.log;
    if (level !== this._level) {
      log.info("The level of the log was changed.", { from: this._level, to: level });
      this._level = level;
      setLogLevel(level);
    }
    const atNextStart = getChangedSettings(this._deps.settings, settings).join(" ");
    if (atNextStart === "") {
      log.info("Settings were read again; no other one differs from those at the start.");
    } else {
      log.warn("Changed settings take effect at the next start.", { settings: atNextStart });
    }
  }

  private _reject(reason: string): void {
    this._deps.log.error("Settings cannot be read; those at the start remain in effect.", {
      reason,
    });
  }
}

/** Returns the names of the settings, apart from the level of the log, whose values differ. */
function getChangedSettings(former: Sections, present: Sections): readonly string[] {
  return Object.entries(present).flatMap(([section, values]) =>
    Object.entries(values)
      .filter(([name, value]) => {
        const formerValues: Readonly<Record<string, unknown>> = { ...former[section] };
        return !isDeepStrictEqual(formerValues[name], value);
      })
      .map(([name]) => `${section}.${name}`)
      .filter((name) => name !== "log.level"),
  );
}
