/**
 * Creates the service that takes submissions, on a store of a test and with an empty catalog.
 */
import { MonitoredStore } from "../../../src/coordination/pool/MonitoredStore.ts";
import { StoreSilenceMonitor } from "../../../src/coordination/pool/StoreSilenceMonitor.ts";
import { SubmissionService } from "../../../src/coordination/pool/SubmissionService.ts";
import { JobCatalog } from "../../../src/state/pool/JobCatalog.ts";
import type { MemoryStore } from "../../../standins/store/MemoryStore.ts";
import type { ManualClock } from "../../support/ManualClock.ts";
import { MemoryLog } from "../../support/MemoryLog.ts";
import { POOL } from "../../support/poolFixtures.ts";

/** A service with what it uses. */
export interface SubmissionSetup {
  readonly catalog: JobCatalog;
  readonly log: MemoryLog;
  readonly silenceMonitor: StoreSilenceMonitor;
  readonly submissions: SubmissionService;
}

/**
 * Creates the service.
 * @param clock - Clock of the service.
 * @param store - The store.
 */
export function createSubmissionService(clock: ManualClock, store: MemoryStore): SubmissionSetup {
  const ignore = (): void => undefined;
  const catalog = new JobCatalog({ onAccepted: ignore, onCancelled: ignore, onUnreadable: ignore });
  const log = new MemoryLog();
  const silenceMonitor = new StoreSilenceMonitor({ store, clock, log });
  const submissions = new SubmissionService({
    store: new MonitoredStore(store, silenceMonitor),
    ...{ silenceMonitor, clock, log, catalog },
    getPools: () => [POOL],
    getTimeOfDay: () => clock.now(),
  });
  return { catalog, log, silenceMonitor, submissions };
}
