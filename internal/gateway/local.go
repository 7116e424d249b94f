package gateway

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const oidText = 25

// localResult is the result of a statement that the proxy executes itself.
type localResult struct {
	tag string
	// column and value describe the only row, if column is set.
	column, value string
}

// answerLocally responds to a request without an endpoint.
func (c *caller) answerLocally(rq *request) error {
	result := localResult{column: localColumn(rq.statement)}
	if rq.batch == nil || rq.executes {
		var err *verdict.Error
		if result, err = c.runLocally(rq.statement); err != nil {
			return c.reject(rq, err)
		}
	}
	if rq.batch == nil {
		if result.column != "" {
			c.responses.add(describeRow(result))
		}
		c.addLocalResult(rq, result)
	} else {
		c.answerBatchLocally(rq, result)
	}
	c.reportFloor()
	if rq.synced {
		c.addReadyForQuery()
	}
	return c.responses.flush()
}

// answerBatchLocally responds to each message of an extended-protocol batch.
func (c *caller) answerBatchLocally(rq *request, result localResult) {
	for i := range rq.batch.items {
		it := &rq.batch.items[i]
		switch it.kind {
		case messageParse:
			c.responses.add(&pgproto3.ParseComplete{})
		case messageBind:
			c.responses.add(&pgproto3.BindComplete{})
		case messageClose:
			c.responses.add(&pgproto3.CloseComplete{})
		case messageExecute:
			c.addLocalResult(rq, result)
		case messageDescribe:
			if it.object == objectStatement {
				c.responses.add(&pgproto3.ParameterDescription{})
			}
			if result.column != "" {
				c.responses.add(describeRow(result))
			} else {
				c.responses.add(&pgproto3.NoData{})
			}
		}
		c.recordPrepared(it)
	}
}

func (c *caller) addLocalResult(rq *request, result localResult) {
	if rq.statement.Class == statement.Empty {
		c.responses.add(&pgproto3.EmptyQueryResponse{})
		return
	}
	if result.column != "" {
		c.responses.add(&pgproto3.DataRow{Values: [][]byte{[]byte(result.value)}})
	}
	c.responses.add(&pgproto3.CommandComplete{CommandTag: []byte(result.tag)})
}

func describeRow(result localResult) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(result.column), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1},
	}}
}

// localColumn returns the name of the result column, or an empty string if there is
// none.
func localColumn(st statement.Statement) string {
	if st.Class == statement.ProxyShow {
		return st.Name
	}
	return ""
}

// runLocally executes a statement on the session's state.
func (c *caller) runLocally(st statement.Statement) (localResult, *verdict.Error) {
	if c.inFailedTransaction {
		c.inFailedTransaction = false
		return localResult{tag: "ROLLBACK"}, nil
	}
	var err error
	result := localResult{column: localColumn(st)}
	switch st.Class {
	case statement.ProxySet:
		result.tag = "SET"
		err = c.state.Set(st.Name, st.Value, time.Now())
	case statement.ProxyReset:
		result.tag = "RESET"
		err = c.state.Reset(st.Name)
	case statement.ProxyShow:
		result.tag = "SHOW"
		result.value, err = c.state.Show(st.Name)
	case statement.Deallocate:
		result.tag = "DEALLOCATE"
		if st.Name == "" {
			result.tag = "DEALLOCATE ALL"
			clear(c.state.Prepared)
		}
		delete(c.state.Prepared, st.Name)
	case statement.DiscardAll:
		result.tag = "DISCARD ALL"
		if c.lease != nil {
			return result, verdict.New(verdict.NotRun, "25001", "DISCARD ALL cannot run inside a transaction block")
		}
		c.state.DiscardAll()
	}
	if err != nil {
		return result, verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "%s", trace.UserMessage(err))
	}
	return result, nil
}
