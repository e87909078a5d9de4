/**
 * Keeps the headroom in the capacity book in line with the services on the VM and their profiles.
 */
import type { CapacityAllocator } from "../../../coordination/tasks/CapacityAllocator.ts";
import type { ConfigSnapshot } from "../../../protocol/config/ConfigDocument.ts";
import type { Resources } from "../../../protocol/Resources.ts";

/** Headroom of the services on one VM. */
export class HeadroomTracker {
  private readonly _allocator: CapacityAllocator;
  private readonly _getConfig: () => ConfigSnapshot | undefined;
  private readonly _services = new Map<string, string>();

  /**
   * Creates it for a VM without backend servers.
   * @param allocator - Capacity book of the VM.
   * @param getConfig - Gives the configuration.
   */
  constructor(allocator: CapacityAllocator, getConfig: () => ConfigSnapshot | undefined) {
    this._allocator = allocator;
    this._getConfig = getConfig;
  }

  /**
   * Notes a backend server.
   * @param id - Id of the backend server.
   * @param service - Its service.
   */
  addServer(id: string, service: string): void {
    this._services.set(id, service);
    this.update();
  }

  /**
   * Notes that a backend server has gone.
   * @param id - Id of the backend server.
   */
  removeServer(id: string): void {
    this._services.delete(id);
    this.update();
  }

  /** Brings the book in line; without a configuration the book is left as it is. */
  update(): void {
    const document = this._getConfig()?.document;
    if (document === undefined) {
      return;
    }
    const headroom = [...new Set(this._services.values())].flatMap<[string, Resources]>(
      (service) => {
        const profile = document.profiles[document.assignments[service] ?? ""];
        return profile === undefined
          ? []
          : [
              [
                service,
                {
                  processorsMilli: profile.headroomProcessorsMilli,
                  memoryBytes: profile.headroomMemoryBytes,
                  accelerators: 0,
                },
              ],
            ];
      },
    );
    this._allocator.setHeadroom(new Map(headroom));
  }
}
