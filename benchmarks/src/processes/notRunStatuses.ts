/** HTTP statuses that guarantee that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export default notRunStatuses;
