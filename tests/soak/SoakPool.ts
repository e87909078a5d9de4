/**
 * A pool of real processes for the soak: entries and agents of the product as it is started on the
 * users' platform, each behind a proxy of its own to the store, and workers in this process.
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { getSchedulerKey } from "../../src/state/pool/PoolKeys.ts";
import { parseSchedulerRecord } from "../../src/state/pool/records.ts";
import { SystemClock } from "../../src/transport/platform/SystemClock.ts";
import { ManagedProcess } from "../../standins/cluster/ManagedProcess.ts";
import { ProcessGuard } from "../../standins/cluster/ProcessGuard.ts";
import { waitUntil } from "../../standins/cluster/waitUntil.ts";
import { KvServer } from "../../standins/platform/KvServer.ts";
import type { JournalRun } from "../../standins/pool/poolJournal.ts";
import type { TaskRequirements } from "../../standins/pool/PoolWorkerModelDependencies.ts";
import { FaultProxy } from "../../standins/proxy/FaultProxy.ts";
import { findFreeAddresses } from "../../standins/support/freePorts.ts";
import { getReadiness, MANIFEST } from "../platform/PlatformFixture.ts";
import { POOL } from "../support/poolFixtures.ts";
import { SoakWorker } from "./SoakWorker.ts";

const START_MS = 60_000;
const ZONES = 4;
const WORKERS_PER_RACK = 8;

/** Size of a pool. */
export interface SoakSize {
  readonly entries: number;
  readonly agents: number;
}

/** A process of the product with its connection to the store. */
export interface SoakProcess {
  readonly name: string;
  readonly process: ManagedProcess;
  readonly store: FaultProxy;
}

/** An entry. */
export interface SoakEntry extends SoakProcess {
  /** Address for clients. */
  readonly submissions: string;
  readonly readiness: string;
}

/** An agent with its worker. */
export interface SoakAgent extends SoakProcess {
  readonly worker: SoakWorker;
}

/** A pool of real processes. */
export class SoakPool {
  readonly journal: JournalRun[] = [];
  readonly entries: SoakEntry[] = [];
  readonly agents: SoakAgent[] = [];
  readonly folder = mkdtempSync(join(tmpdir(), "fireflylb-soak-"));
  private readonly _product: string;
  private readonly _getRequirements: (task: string) => TaskRequirements;
  private readonly _guard = new ProcessGuard();
  private readonly _clock = new SystemClock();
  private _store: KvServer | undefined;

  /**
   * Creates a pool without processes.
   * @param product - Folder of the product, another version's for a comparison.
   * @param getRequirements - Gets what a task takes on a worker.
   */
  constructor(product: string, getRequirements: (task: string) => TaskRequirements) {
    this._product = product;
    this._getRequirements = getRequirements;
  }

  /**
   * Starts all processes and waits until the entries are ready.
   * @param size - Number of processes.
   */
  async start(size: SoakSize): Promise<void> {
    const [kv = ""] = await findFreeAddresses(1);
    this._store = new KvServer(kv);
    await this._store.start();
    this._store.put("op/config", MANIFEST);
    for (let number = 0; number < size.entries; number += 1) {
      this.entries.push(await this._createEntry(number, kv));
    }
    for (let number = 0; number < size.agents; number += 1) {
      this.agents.push(await this._createAgent(number, kv));
    }
    [...this.entries, ...this.agents].forEach(({ process }) => {
      process.start();
    });
    await Promise.all(this.agents.map(({ worker }) => worker.start()));
    await waitUntil("the entries are ready", START_MS, async () => {
      const answers = this.entries.map(({ readiness }) => getReadiness(readiness).catch(() => 0));
      return (await Promise.all(answers)).every((status) => status === 200);
    });
  }

  /** Ends all processes and removes the folder. */
  async end(): Promise<void> {
    const processes = [...this.entries, ...this.agents];
    await Promise.all(processes.map(({ process }) => process.kill()));
    await Promise.all(this.agents.map(({ worker }) => worker.end()));
    await Promise.all(processes.map(({ store }) => store.stop()));
    await this._store?.stop();
    await this._guard.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** The entry that schedules the pool; undefined if none does. */
  get leader(): SoakEntry | undefined {
    const value = this._store?.model.read(getSchedulerKey(POOL))?.value ?? "";
    const record = parseSchedulerRecord(value).unwrapOr(undefined);
    return this.entries.find(({ name }) => name === record?.entry);
  }

  private async _createEntry(number: number, kv: string): Promise<SoakEntry> {
    const [submissions = "", readiness = "", store = ""] = await findFreeAddresses(3);
    const name = `entry-${number}`;
    const settings = `[entry]\nname = ${name}\nzone = ${getZone(number)}
submissions = ${submissions}\nreadiness = ${readiness}\ndrain_ms = 100
[store]\naddress = ${store}\n[pool]\nmax_worker_lease_ms = 6000\n`;
    return {
      ...(await this._createProcess(name, "entry", settings, store, kv)),
      submissions,
      readiness,
    };
  }

  private async _createAgent(number: number, kv: string): Promise<SoakAgent> {
    const [control = "", announcements = "", address = "", store = ""] = await findFreeAddresses(4);
    const name = `agent-${number}`;
    const settings = `[agent]\nname = ${name}\nzone = ${getZone(number)}\npool = ${POOL}
control = ${control}\nannouncements = ${announcements}
[worker]\naddress = ${address}\n[store]\naddress = ${store}\n`;
    const worker = new SoakWorker({
      ...{ name: `i-${number}`, rack: `rack-${Math.floor(number / WORKERS_PER_RACK)}` },
      ...{ address, announcements, journal: this.journal, getRequirements: this._getRequirements },
    });
    return { ...(await this._createProcess(name, "agent", settings, store, kv)), worker };
  }

  private async _createProcess(
    name: string,
    role: string,
    settings: string,
    listen: string,
    kv: string,
  ): Promise<SoakProcess> {
    const folder = join(this.folder, name);
    mkdirSync(folder);
    const file = join(folder, "settings.ini");
    writeFileSync(file, settings);
    const store = new FaultProxy(this._clock, listen, kv);
    await store.start();
    const managed = new ManagedProcess({
      ...{ name, command: process.execPath, guard: this._guard },
      args: ["--max-old-space-size=110", join(this._product, "platform", "main.ts"), role],
      logFile: join(folder, "output.log"),
      env: { FIREFLYLB_SETTINGS: file },
    });
    return { name, process: managed, store };
  }
}

function getZone(number: number): string {
  return `zone-${number % ZONES}`;
}
