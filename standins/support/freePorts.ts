/**
 * Finds free ports on loopback for the processes of a test. Concurrent test processes reserve ports
 * with files, so that no two of them choose the same port before one listens on it.
 */
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Ports below the ephemeral range, so that no outgoing connection takes a reserved port. */
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
 * Finds free ports and reserves them until this process exits.
 * @param count - Number of ports.
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

/** Finds and reserves a free port and returns its address. */
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

/** Returns whether a live process holds a reservation; deletes the reservation of a dead process. */
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
