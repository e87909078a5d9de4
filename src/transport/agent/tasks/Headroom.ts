/**
 * Keeps the headroom in the capacity book in line with the services on the VM and their profiles.
 */
import type { CapacityBook } from "../../../coordination/tasks/CapacityBook.ts";
import type { ConfigSnapshot } from "../../../protocol/config/ConfigDocument.ts";
import type { Resources } from "../../../protocol/Resources.ts";

/** Headroom of the services on one VM. */
export class Headroom {
  private readonly _book: CapacityBook;
  private readonly _getConfig: () => ConfigSnapshot | undefined;
  private readonly _services = new Map<string, string>();

  /**
   * Creates it for a VM without backend servers.
   * @param book - Capacity book of the VM.
   * @param getConfig - Gives the configuration.
   */
  constructor(book: CapacityBook, getConfig: () => ConfigSnapshot | undefined) {
    this._book = book;
    this._getConfig = getConfig;
  }

  /**
   * Notes a backend server.
   * @param id - Id of the backend server.
   * @param service - Its service.
   */
  addServer(id: string, service: string): void {
    this._services.set(id, service);
    this.apply();
  }

  /**
   * Notes that a backend server has gone.
   * @param id - Id of the backend server.
   */
  removeServer(id: string): void {
    this._services.delete(id);
    this.apply();
  }

  /** Brings the book in line; without a configuration the book is left as it is. */
  apply(): void {
    const document = this._getConfig()?.document;
    if (document === undefined) {
      return;
    }
    const wanted = [...new Set(this._services.values())].flatMap<[string, Resources]>((service) => {
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
    });
    this._book.setHeadroom(new Map(wanted));
  }
}
