import type { LoadReport } from '@apricotrill/policy';

/**
 * Parses the `x-load` header of a response.
 *
 * @param replica - the id of the replica that sent the response
 * @param header - `running=3,waiting=0,slots=8,measured-at=1700000000000`
 * @returns undefined when the header is absent or invalid, which does not invalidate the response
 * @example
 * ```ts
 * const report = parseLoad('kielimalli-1', headers['x-load']);
 * ```
 * @internal
 */
export function parseLoad(replica: string, header: unknown): LoadReport | undefined {
  if (typeof header !== 'string') {
    return undefined;
  }
  const fields = new Map(
    header.split(',').map((field) => {
      const [name = '', value = ''] = field.trim().split('=');
      return [name, Number(value)] as const;
    }),
  );
  const running = fields.get('running');
  const waiting = fields.get('waiting');
  const measuredAt = fields.get('measured-at');
  const readable = [running, waiting, measuredAt].every((value) => Number.isFinite(value));
  return readable
    ? { replica, running: running!, waiting: waiting!, measuredAt: measuredAt! }
    : undefined;
}
