/**
 * Process of the pool benchmark that runs an entry. It is started with the addresses of the store,
 * for submissions and for readiness, and answers each message with what it has used.
 */
import { ClientServer } from "../../platform/ClientServer.ts";
import { ManifestDecoder } from "../../platform/manifest.ts";
import { PlatformStore } from "../../platform/PlatformStore.ts";
import { readPoolEntrySettings } from "../../src/protocol/settings/PoolEntrySettings.ts";
import { PinoLog } from "../../src/transport/log/PinoLog.ts";
import { getProcessUsage } from "../../src/transport/platform/ProcessLoadLog.ts";
import { PoolEntryProcess } from "../../src/transport/pool/PoolEntryProcess.ts";

const STORE_TIMEOUT_MS = 1_000;

const [kv = "", submissions = "", readiness = ""] = process.argv.slice(2);
const text = `[entry]\nname = entry-1\nzone = zone-a\nsubmissions = ${submissions}
readiness = ${readiness}\n[store]\naddress = ${kv}\n`;
const settings = readPoolEntrySettings("entry.ini", text)._unsafeUnwrap();
const entry = new PoolEntryProcess({
  settings,
  log: PinoLog.create("info", "entry-1"),
  store: new PlatformStore(kv, STORE_TIMEOUT_MS),
  decoder: new ManifestDecoder(),
  createFrontend: (deps) => new ClientServer(settings.entry, deps),
});
process.on("disconnect", () => process.exit(0));
process.on("message", () => {
  process.send?.(getProcessUsage());
});
(await entry.start())._unsafeUnwrap();
process.send?.("ready");
