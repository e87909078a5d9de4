/**
 * A small deployment: the project's own programs as processes, started with the commands of the
 * deploy file and settings from its templates, and the stand-ins of the store, the workers and the
 * clients, all on loopback addresses.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { GangTable } from "./GangTable.ts";
import { callJson, findFreeAddresses, type ClientReply } from "./jsonHttp.ts";
import type { CaseRecord } from "./CaseRecord.ts";
import { StoreStandIn } from "./StoreStandIn.ts";
import { WorkerStandIn } from "./WorkerStandIn.ts";

export const SERVICE = "dahu75a";
export const HOST = "noje8.example";
export const PREFIX = "/nyka740/";
const ZONES = ["zone-a", "zone-b", "zone-c"];
const WORKERS_PER_RACK = 3;
const READY_TIMEOUT_MS = 30_000;
const RESTART_DELAY_MS = 300;

/** Size of a deployment. */
export interface DeploymentSize {
  readonly entries: number;
  /** Number of workers in each zone, each with an agent. */
  readonly workers: readonly number[];
  /** Services of the workers of each zone; one service if undefined. */
  readonly services?: readonly string[];
}

/** A process of the project. */
export class Program {
  readonly name: string;
  private readonly _command: readonly string[];
  private readonly _settings: string;
  private readonly _record: CaseRecord;
  private _child: ChildProcess | undefined;
  private _isEnding = false;

  /**
   * Creates a program that does not run yet.
   * @param name - Its name.
   * @param command - Its command.
   * @param settings - Path of its settings file.
   * @param record - Record of the case.
   */
  constructor(name: string, command: readonly string[], settings: string, record: CaseRecord) {
    this.name = name;
    this._command = command;
    this._settings = settings;
    this._record = record;
  }

  /** Starts it; it is started again when it ends by itself or is killed. */
  start(): void {
    const [file = "", ...args] = this._command;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(file, args, {
      env: { PATH, HOME, LANG, FIREFLYLB_SETTINGS: this._settings },
      stdio: process.env.LOGS === "1" ? "inherit" : "ignore",
    });
    this._child = child;
    child.on("exit", (code, signal) => {
      this._record.add(`process ${this.name} ended: ${code ?? signal ?? ""}`);
      setTimeout(() => {
        if (!this._isEnding) {
          this.start();
        }
      }, RESTART_DELAY_MS);
    });
  }

  /**
   * Sends a signal.
   * @param signal - The signal.
   */
  signal(signal: NodeJS.Signals): void {
    this._record.add(`${signal} to ${this.name}`);
    this._child?.kill(signal);
  }

  /** Ends it for good. */
  end(): void {
    this._isEnding = true;
    this._child?.kill("SIGKILL");
  }
}

/** Entry with its addresses. */
export interface Entry {
  readonly program: Program;
  readonly submissions: string;
  readonly readiness: string;
}

/** Deployment of one case. */
export class Deployment {
  readonly entries: Entry[] = [];
  readonly agents: Program[] = [];
  readonly workers: WorkerStandIn[] = [];
  readonly store: StoreStandIn;
  private readonly _record: CaseRecord;
  private readonly _storeAddress: string;
  private readonly _folder = mkdtempSync(join(tmpdir(), "fireflylb-review-"));
  private readonly _gangs = new GangTable();

  private constructor(record: CaseRecord, storeAddress: string) {
    this._record = record;
    this._storeAddress = storeAddress;
    this.store = new StoreStandIn(storeAddress);
  }

  /**
   * Starts a deployment and waits until all of its entries are ready.
   * @param record - Record of the case.
   * @param size - Its size.
   */
  static async start(record: CaseRecord, size: DeploymentSize): Promise<Deployment> {
    if (!existsSync("target/main.cjs")) {
      throw new Error("the programs are not built");
    }
    const [storeAddress = ""] = await findFreeAddresses(1);
    const deployment = new Deployment(record, storeAddress);
    process.once("exit", () => {
      deployment._endPrograms();
    });
    await deployment.store.start();
    deployment.store.put("op/config", createManifest(1, SERVICE, size.services));
    for (let number = 0; number < size.entries; number += 1) {
      await deployment._addEntry(number);
    }
    const places = size.workers.flatMap((count, zone) =>
      Array.from({ length: count }, (_, number) => ({ zone, number })),
    );
    for (const { zone, number } of places) {
      await deployment._addWorker(zone, number, size.services?.[zone] ?? SERVICE);
    }
    await deployment._waitUntilReady();
    return deployment;
  }

  /** Ends everything that was started. */
  async end(): Promise<void> {
    this._endPrograms();
    await Promise.all(this.workers.map((worker) => worker.end()));
    await this.store.stop();
    rmSync(this._folder, { recursive: true, force: true });
  }

  /**
   * Makes a client's request at an entry.
   * @param entry - Number of the entry.
   * @param method - Method.
   * @param id - Id of the submission; empty for the queue.
   * @param body - Body; undefined for none.
   */
  async call(entry: number, method: string, id: string, body?: unknown): Promise<ClientReply> {
    const address = this.entries[entry]?.submissions ?? "";
    const path = `${PREFIX}${id}`;
    const headers = { host: HOST, "deadline-ms": "3000" };
    const reply = await callJson(address, { method, path, headers, body });
    const name = this.entries[entry]?.program.name ?? "";
    this._record.add(
      `client ${method} ${path} at ${name}: ${reply.status} ${JSON.stringify(reply.body)}`,
    );
    return reply;
  }

  private _endPrograms(): void {
    this.entries.forEach(({ program }) => {
      program.end();
    });
    this.agents.forEach((program) => {
      program.end();
    });
  }

  private async _addEntry(number: number): Promise<void> {
    const [submissions = "", readiness = ""] = await findFreeAddresses(2);
    const name = `front-${ZONES[number % ZONES.length] ?? ""}-${Math.floor(number / ZONES.length) + 1}`;
    const program = this._createProgram("entry", name, {
      node: name,
      zone: ZONES[number % ZONES.length] ?? "",
      "listen_addrs.front": submissions,
      "listen_addrs.ready": readiness,
      "limits.link_mbps": "1000",
      "limits.cpu_share": "0.675",
      "limits.cores": "1",
      "platform.address": this._storeAddress,
      "bounds.hold_max_ms": "10000",
    });
    this.entries.push({ program, submissions, readiness });
    program.start();
  }

  private async _addWorker(zoneNumber: number, number: number, service: string): Promise<void> {
    const zone = ZONES[zoneNumber] ?? "";
    const [control = "", announcements = "", app = ""] = await findFreeAddresses(3);
    const [ip = "", port = ""] = control.split(":");
    const name = `side-${zone}-${number + 1}`;
    const program = this._createProgram("agent", name, {
      node: name,
      zone,
      service,
      ip,
      "internal_ports.0": port,
      "listen_addrs.control": announcements,
      app,
      "platform.address": this._storeAddress,
    });
    const rack = `r${zoneNumber + 1}-${Math.floor(number / WORKERS_PER_RACK) + 1}`;
    const worker = new WorkerStandIn({
      ...{ name: `i-${zone}-${number + 1}`, service, address: app, announcements },
      ...{ zone, rack, record: this._record, gangs: this._gangs },
    });
    this.agents.push(program);
    this.workers.push(worker);
    program.start();
    await worker.start();
  }

  private _createProgram(
    role: string,
    name: string,
    fields: Readonly<Record<string, string>>,
  ): Program {
    const template = readFileSync(`deploy/${role}.ini`, "utf8");
    const text = template.replace(/\{\{([^}]+)\}\}/g, (_, field: string) => fields[field] ?? "");
    const file = join(this._folder, `${name}.ini`);
    writeFileSync(file, text);
    return new Program(name, readCommand(role), file, this._record);
  }

  private async _waitUntilReady(): Promise<void> {
    const until = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < until) {
      const replies = await Promise.all(
        this.entries.map(({ readiness }) =>
          callJson(readiness, { method: "GET", path: "/v1/ready", timeoutMs: 500 }),
        ),
      );
      if (replies.every(({ status }) => status === 200)) {
        // The workers announce themselves within two heartbeats.
        await sleep(3_000);
        this._record.add("all entries are ready");
        return;
      }
      await sleep(100);
    }
    throw new Error("the entries did not become ready");
  }
}

/**
 * Creates a manifest with one queue.
 * @param version - Its version.
 * @param service - Service that runs the queue's tasks.
 * @param services - Names of all services.
 */
export function createManifest(
  version: number,
  service = SERVICE,
  services: readonly string[] = [SERVICE],
): unknown {
  return {
    version,
    routes: [
      {
        ...{ name: "swap", host: HOST, prefix: PREFIX, service, priority: 0 },
        ...{ max_attempts: 3, stretch: 2, target_latency_ms: 250 },
      },
    ],
    services: [...new Set(services)].map((name) => ({ name, admission_control: true })),
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144 },
  };
}

/** Reads the command of a role from the deploy file. */
function readCommand(role: string): readonly string[] {
  const deploy = readFileSync("deploy/system.toml", "utf8");
  const section = deploy.slice(deploy.indexOf(`[roles.${role}]`));
  return (/^run = "(.*)"$/m.exec(section)?.[1] ?? "").split(" ");
}
