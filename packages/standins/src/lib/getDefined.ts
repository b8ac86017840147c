/** Leaves out what is undefined, so that defaults show through. */
export function getDefined<Values extends object>(values: Values): Partial<Values> {
  const entries = Object.entries(values).filter(([, value]) => value !== undefined);
  return Object.fromEntries(entries) as Partial<Values>;
}
