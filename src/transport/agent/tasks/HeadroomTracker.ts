/**
 * Reserves headroom for the services that have a backend server on the VM, as their profiles set it.
 */
import type { CapacityAllocator } from "../../../coordination/tasks/CapacityAllocator.ts";
import type { ConfigSnapshot } from "../../../protocol/config/ConfigDocument.ts";
import type { Resources } from "../../../protocol/Resources.ts";

/** Tracks the services on one VM and reserves their headroom. */
export class HeadroomTracker {
  private readonly _allocator: CapacityAllocator;
  private readonly _getConfig: () => ConfigSnapshot | undefined;
  private readonly _services = new Map<string, string>();

  /**
   * Creates a tracker for a VM without backend servers.
   * @param allocator - Allocator of the VM's capacity.
   * @param getConfig - Returns the current configuration.
   */
  constructor(allocator: CapacityAllocator, getConfig: () => ConfigSnapshot | undefined) {
    this._allocator = allocator;
    this._getConfig = getConfig;
  }

  /**
   * Adds a backend server.
   * @param id - Id of the backend server.
   * @param service - Its service.
   */
  addServer(id: string, service: string): void {
    this._services.set(id, service);
    this.update();
  }

  /**
   * Removes a backend server.
   * @param id - Id of the backend server.
   */
  removeServer(id: string): void {
    this._services.delete(id);
    this.update();
  }

  /** Updates the reserved headroom; does nothing without a configuration. */
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
