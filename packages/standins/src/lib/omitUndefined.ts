/** Omits undefined values, so that defaults apply in their place. */
export function omitUndefined<Values extends object>(values: Values): Partial<Values> {
  const entries = Object.entries(values).filter(([, value]) => value !== undefined);
  return Object.fromEntries(entries) as Partial<Values>;
}
