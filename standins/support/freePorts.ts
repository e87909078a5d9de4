/**
 * Free ports of loopback for the processes of a test.
 */
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";

/** Ports below those that the system gives to outgoing connections, so that none takes one away. */
const LOWEST_PORT = 15_000;
const HIGHEST_PORT = 32_000;

const taken = new Set<number>();

/**
 * Finds free ports; a port is given only once in a process.
 * @param count - How many.
 * @returns Addresses as "127.0.0.1:port".
 */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
    if (taken.has(port)) {
      continue;
    }
    taken.add(port);
    if (await isFree(port)) {
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
