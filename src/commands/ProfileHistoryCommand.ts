/**
 * The command `profile history`.
 */
import { isObject } from "./ApiClient.ts";
import { ReadCommand } from "./ReadCommand.ts";
import { render } from "./render.ts";

/** Lists the configuration changes. */
export class ProfileHistoryCommand extends ReadCommand {
  override readonly words = "profile history";
  override readonly summary = "List the configuration changes with authors and notes";

  protected override getPath(): string {
    return "/v1/config/history";
  }

  protected override format(body: unknown): readonly string[] {
    const entries = isObject(body) ? Object.values(body).find(Array.isArray) : body;
    const rows: readonly unknown[] = Array.isArray(entries) ? entries : [];
    return render(
      rows.filter(isObject).map(({ touched, ...row }) => replaceTouchedByKeys(row, touched)),
    );
  }
}

function replaceTouchedByKeys(
  row: Readonly<Record<string, unknown>>,
  touched: unknown,
): Readonly<Record<string, unknown>> {
  const list: readonly unknown[] = Array.isArray(touched) ? touched : [];
  const keys = list.filter(isObject).map((at) => `${String(at.section)}.${String(at.key)}`);
  return { ...row, keys };
}
