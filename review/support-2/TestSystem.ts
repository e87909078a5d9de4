/**
 * A small deployment for one case: the project's own programs as processes with the commands of the
 * deploy file, the store and the workers as stand-ins in this process, all on loopback addresses.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { findFreeAddresses } from "../../standins/support/freePorts.ts";
import type { CaseRecord } from "./CaseRecord.ts";
import { GangTable } from "./GangTable.ts";
import { StoreStandIn } from "./StoreStandIn.ts";
import type { TaskLoad, WorkedRun } from "./workerCalls.ts";
import { WorkerStandIn } from "./WorkerStandIn.ts";

const SERVICE = "rota-desk";
const HOST = "rota.example";
const ZONES = ["gj-west-a", "gj-west-b", "gj-west-c"];
const WORKERS_PER_RACK = 3;
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 100;
/** Time for which a client waits, in milliseconds, and the status that stands for no answer. */
const DEADLINE_MS = 3_000;
const NO_ANSWER = 0;
const FIRST_VERSION = 3;
/** Kind of the workers that are not of a kind of their own. */
const KIND = "a";

/** Size and workers of a deployment. */
export interface SystemOptions {
  readonly entries: number;
  readonly workers: number;
  /** Processors of a worker, in thousandths of a core. */
  readonly cpu: number;
  /** Gets the kind of a worker by its position; a by default. */
  readonly getKind?: (position: number) => string;
  readonly getLoad: (task: string) => TaskLoad;
}

/** Response of an entry. */
export interface EntryResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** A side machine with the present life of its worker. */
export interface SideMachine {
  readonly name: string;
  readonly rack: string;
  worker: WorkerStandIn;
  /** Lets the next life of the worker begin, under an id of its own or under the same. */
  readonly startNextLife: (keepsId?: boolean) => Promise<void>;
}

/** A running deployment. */
export class TestSystem {
  readonly journal: WorkedRun[] = [];
  readonly machines: SideMachine[] = [];
  private readonly _gangs = new GangTable();
  private readonly _record: CaseRecord;
  private readonly _options: SystemOptions;
  private readonly _folder = mkdtempSync(join(tmpdir(), "fireflylb-review-"));
  private readonly _children: ChildProcess[] = [];
  private readonly _childrenByName = new Map<string, ChildProcess>();
  private readonly _entries: { readonly submissions: string; readonly readiness: string }[] = [];
  private _store: StoreStandIn | undefined;

  /**
   * Creates a deployment without processes.
   * @param record - Record of the case.
   * @param options - Its size.
   */
  constructor(record: CaseRecord, options: SystemOptions) {
    this._record = record;
    this._options = options;
    process.on("exit", () => {
      this._children.forEach((child) => child.kill("SIGKILL"));
    });
  }

  /** Starts everything and waits until all entries are ready. */
  async start(): Promise<void> {
    const [kv = ""] = await findFreeAddresses(1);
    const store = new StoreStandIn(kv, (key, bytes) => {
      this._record.addOnce(`the store refuses a value of ${key}`, `${bytes} bytes`);
    });
    this._store = store;
    await store.start();
    store.put("op/config", createManifest(FIRST_VERSION, "rota"));
    for (let position = 0; position < this._options.entries; position += 1) {
      await this._startEntry(position, kv);
    }
    for (let position = 0; position < this._options.workers; position += 1) {
      await this._startMachine(position, kv);
    }
    await Promise.all(this._entries.map(({ readiness }) => waitUntilReady(readiness)));
  }

  /** Ends all processes and stand-ins. */
  async end(): Promise<void> {
    const running = this._children.filter(
      ({ exitCode, signalCode }) => exitCode === null && signalCode === null,
    );
    const ended = running.map((child) => once(child, "exit"));
    running.forEach((child) => child.kill("SIGKILL"));
    await Promise.all(ended);
    await Promise.all(this.machines.map(({ worker }) => worker.crash()));
    await this._store?.stop();
    const logs = process.env.KEEP_LOGS;
    if (logs === undefined) {
      rmSync(this._folder, { recursive: true, force: true });
    }
  }

  /** Name of the entry that schedules the pool; undefined if the store names none. */
  get scheduler(): string | undefined {
    const value = this._store?.model.read(`scheduler/${SERVICE}`)?.value;
    return value === undefined
      ? undefined
      : (JSON.parse(value) as { readonly entry: string }).entry;
  }

  /**
   * Changes the manifest as the operator does: the route is removed, and one with another name and the
   * same host and prefix is added.
   * @param name - Name of the new route.
   */
  replaceRoute(name: string): void {
    this._store?.put("op/config", createManifest(FIRST_VERSION + 2, name));
  }

  /**
   * Kills the process of a machine.
   * @param name - Name of the machine.
   */
  async kill(name: string): Promise<void> {
    const child = this._childrenByName.get(name);
    if (child?.exitCode === null && child.signalCode === null) {
      const ended = once(child, "exit");
      child.kill("SIGKILL");
      await ended;
    }
  }

  /**
   * Sends a client's request to an entry.
   * @param entry - Position of the entry.
   * @param method - Its method.
   * @param id - Id of the submission; empty for the queue itself.
   * @param body - Its body, as text; undefined for none.
   */
  async call(entry: number, method: string, id: string, body?: string): Promise<EntryResponse> {
    const address = this._entries[entry % this._entries.length]?.submissions ?? "";
    try {
      const res = await request(`http://${address}/rota/${id}`, {
        method: method as "GET" | "POST" | "DELETE",
        headers: {
          host: HOST,
          "content-type": "application/json",
          "deadline-ms": String(DEADLINE_MS),
        },
        ...(body === undefined ? {} : { body }),
        ...{ headersTimeout: DEADLINE_MS, bodyTimeout: DEADLINE_MS },
      });
      const read = (await res.body.json()) as EntryResponse["body"];
      return { status: res.statusCode, body: read };
    } catch {
      return { status: NO_ANSWER, body: {} };
    }
  }

  /**
   * Gets the state of a submission at an entry, and records it when it has changed.
   * @param entry - Position of the entry.
   * @param id - Id of the submission.
   */
  async getState(entry: number, id: string): Promise<string> {
    const { status, body } = await this.call(entry, "GET", id);
    const state = status === 200 ? String(body.state) : `status ${status}`;
    this._record.addChange(`entry ${entry} says of ${id}`, state);
    return state;
  }

  private async _startEntry(position: number, kv: string): Promise<void> {
    const [submissions = "", readiness = ""] = await findFreeAddresses(2);
    const zone = ZONES[position % ZONES.length] ?? "";
    const settings = `[entry]\nname = front-${zone}-1\nzone = ${zone}
submissions = ${submissions}\nreadiness = ${readiness}
link_mbps = 1000\nprocessor_share = 0.675\nprocessor_speed = 1
[store]\naddress = ${kv}\n[pool]\nmax_worker_lease_ms = 10000\n`;
    this._entries.push({ submissions, readiness });
    this._spawn("entry", `front-${zone}-1`, settings);
  }

  private async _startMachine(position: number, kv: string): Promise<void> {
    const [control = "", announcements = "", address = ""] = await findFreeAddresses(3);
    const { cpu, getLoad, getKind = (): string => KIND } = this._options;
    const zone = ZONES[position % ZONES.length] ?? "";
    const name = `side-${zone}-${Math.floor(position / ZONES.length) + 1}`;
    const settings = `[agent]\nname = ${name}\nzone = ${zone}\npool = ${SERVICE}
control = ${control}\nannouncements = ${announcements}
[worker]\naddress = ${address}\n[store]\naddress = ${kv}\n`;
    this._spawn("agent", name, settings);
    const rack = `r1-${Math.floor(position / WORKERS_PER_RACK)}`;
    let life = 0;
    const createWorker = (keepsId = false): WorkerStandIn => {
      life += keepsId ? 0 : 1;
      const id = `i-7f3a9${position.toString(16).padStart(2, "0")}${life}`;
      return new WorkerStandIn({
        ...{ id, service: SERVICE, zone, labels: [getKind(position), rack], cpu, address },
        ...{ control: announcements, getLoad, journal: this.journal, gangs: this._gangs },
      });
    };
    const machine: SideMachine = {
      ...{ name, rack },
      worker: createWorker(),
      startNextLife: async (keepsId) => {
        const former = machine.worker;
        machine.worker = createWorker(keepsId);
        former.next = machine.worker;
        await machine.worker.start();
      },
    };
    await machine.worker.start();
    this.machines.push(machine);
  }

  private _spawn(role: string, name: string, settings: string): void {
    const folder = join(this._folder, name);
    mkdirSync(folder);
    const file = join(folder, "settings.ini");
    writeFileSync(file, settings);
    const [command = "", ...args] = readCommand(role);
    const output = openSync(join(folder, "output.log"), "a");
    const child = spawn(command, args, {
      stdio: ["ignore", output, output],
      env: { ...process.env, FIREFLYLB_SETTINGS: file },
    });
    closeSync(output);
    child.once("exit", (code, signal) => {
      this._record.add(`${name} has ended: ${signal ?? `exit status ${String(code)}`}`);
    });
    this._children.push(child);
    this._childrenByName.set(name, child);
  }
}

/** Reads the command of a role from the deploy file. */
function readCommand(role: string): readonly string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  return (/run = "([^"]+)"/.exec(section)?.[1] ?? "").split(" ");
}

function createManifest(version: number, name: string): object {
  const route = { name, host: HOST, prefix: "/rota/", kind: "unsafe", timeout_ms: 3_000 };
  const queue = { priority: 0, service: SERVICE, max_attempts: 4, stretch: 2 };
  return {
    version,
    routes: [{ ...route, ...queue, target_latency_ms: 1_000 }],
    services: [{ name: SERVICE, admission_control: true, spare: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144 },
  };
}

async function waitUntilReady(address: string): Promise<void> {
  const until = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < until) {
    const res = await request(`http://${address}/v1/ready`).catch(() => undefined);
    await res?.body.dump();
    if (res?.statusCode === 200) {
      return;
    }
    await sleep(POLL_MS);
  }
  throw new Error("an entry is not ready");
}
