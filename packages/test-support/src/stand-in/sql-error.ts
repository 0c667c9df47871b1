/** An error that the stand-in reports to the client with an SQLSTATE code. */
export class SqlError extends Error {
  readonly sqlState: string;

  constructor(sqlState: string, message: string) {
    super(message);
    this.sqlState = sqlState;
  }
}
