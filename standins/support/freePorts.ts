/**
 * Free ports of loopback for the processes of a test. Tests that run at the same time reserve ports
 * by files, so that no two give out the same one before it is listened on.
 */
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Ports below those that the system gives to outgoing connections, so that none takes one away. */
const MIN_PORT = 10_000;
const MAX_PORT = 32_000;

const RESERVATION_DIRECTORY = join(tmpdir(), "fireflylb-ports");

const reserved = new Set<string>();

process.on("exit", () => {
  reserved.forEach((file) => {
    rmSync(file, { force: true });
  });
});

/**
 * Finds free ports and reserves them until this process ends.
 * @param count - How many.
 * @returns Addresses as "127.0.0.1:port".
 */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    const port = randomInt(MIN_PORT, MAX_PORT);
    if (reserve(port) && (await isFree(port))) {
      addresses.push(`127.0.0.1:${port}`);
    }
  }
  return addresses;
}

/** Finds one free port and gives its address. */
export async function findFreeAddress(): Promise<string> {
  const [address] = await findFreeAddresses(1);
  if (address === undefined) {
    throw new Error("no free port");
  }
  return address;
}

function reserve(port: number): boolean {
  mkdirSync(RESERVATION_DIRECTORY, { recursive: true });
  const file = join(RESERVATION_DIRECTORY, String(port));
  if (isReserved(file)) {
    return false;
  }
  try {
    writeFileSync(file, String(process.pid), { flag: "wx" });
  } catch {
    return false;
  }
  reserved.add(file);
  return true;
}

/** Tells whether a living process holds a reservation; that of a dead one is deleted. */
function isReserved(file: string): boolean {
  try {
    const pid = Number(readFileSync(file, "utf8"));
    if (pid === 0 || isAlive(pid)) {
      return true;
    }
    rmSync(file, { force: true });
    return false;
  } catch {
    return false;
  }
}

function isAlive(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  server.listen({ host: "127.0.0.1", port });
  try {
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}
