/* Grammar of the conformance suite's transcripts: what each peer sends, and what it must receive in which time. */
grammar Transcript;

script : testCase* EOF ;

testCase : 'case' STRING ('covers' WORD (',' WORD)*)? ('each' WORD (',' WORD)*)? '{' step* '}' ;

step
    : 'fresh' WORD (',' WORD)*          # fresh
    | 'wait' TIME                       # pause
    | WORD ':' action (';' action)*     # say
    ;

action
    : 'send' WORD value*                # send
    | 'dribble' WORD value*             # dribble
    | 'chop' WORD value*                # chop
    | 'raw' value+                      # raw
    | 'expect' WORD value* within?      # expect
    | 'line' value+                     # line
    | 'hears' value+ within?            # hears
    | 'lists' value+ within?            # lists
    | 'quiet' TIME                      # quiet
    | 'close'                           # close
    | 'closed' within?                  # closed
    ;

within : 'within' TIME ;

value
    : STRING ('*' INT)?                 # text
    | REGEX                             # pattern
    | '?'                               # any
    | WORD                              # variable
    ;

TIME : [0-9]+ ('ms' | 's') ;
INT : [0-9]+ ;
WORD : [A-Za-z_] [A-Za-z0-9_]* ;
STRING : '"' (~["\\\r\n] | '\\' .)* '"' ;
REGEX : '/' (~[/\\\r\n] | '\\' .)+ '/' ;
COMMENT : '#' ~[\r\n]* -> skip ;
SPACE : [ \t\r\n]+ -> skip ;
